package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
	"sardinefront.dev/rules"
)

// pushTimeout bounds a push, including the read-backs after a write without a response.
const pushTimeout = 30 * time.Second

// unsetBase means that --base was not given. The edit is then based on the rules that are in the
// store when the push starts.
const unsetBase = -1

// rulesOptions holds the arguments and flags of the rules subcommands.
type rulesOptions struct {
	file, author, comment string
	base                  int
	limit                 int
}

func rulesCommand() command {
	a := &rulesOptions{base: unsetBase, limit: 20}
	sub := flaggy.NewSubcommand("rules")
	sub.Description = "Pushes, compares and shows the rules in the platform's store."
	push, diff := flaggy.NewSubcommand("push"), flaggy.NewSubcommand("diff")
	show, history := flaggy.NewSubcommand("show"), flaggy.NewSubcommand("history")
	push.Description = "Checks a rules file, shows the changes and activates it."
	push.AddPositionalValue(&a.file, "file", 1, true, "rules file")
	push.String(&a.author, "a", "author", "author of the change, required")
	push.String(&a.comment, "m", "comment", "reason for the change")
	push.Int(&a.base, "b", "base", "number of the rules that the edit is based on; default is the number in the store")
	diff.Description = "Shows how a file differs from the rules in the store."
	diff.AddPositionalValue(&a.file, "file", 1, true, "rules file")
	show.Description = "Prints the rules in the store."
	history.Description = "Lists accepted rules, newest first."
	history.Int(&a.limit, "n", "limit", "maximum number of entries")
	for _, child := range []*flaggy.Subcommand{push, diff, show, history} {
		sub.AttachSubcommand(child, 1)
	}
	return command{sub: sub, run: func(e *env) error {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		kv, err := e.store()
		if err != nil {
			return err
		}
		switch {
		case push.Used:
			return a.push(ctx, e, kv)
		case diff.Used:
			return a.diff(ctx, e, kv)
		case show.Used:
			return a.show(ctx, e, kv)
		case history.Used:
			return a.history(ctx, e, kv)
		default:
			return failf(ExitUsage, "rules: one of the subcommands push, diff, show and history is required")
		}
	}}
}

// store returns a client of the platform's store.
func (e *env) store() (platform.KV, error) {
	if e.platform == "" {
		return nil, failf(ExitUsage, "--platform: the address of the platform's service is required")
	}
	return httpkv.New(httpkv.Config{Address: e.platform, CallerName: "sardinectl"}), nil
}

// currentRules returns the rules in the store, or the zero value if there are none.
func currentRules(ctx context.Context, kv platform.KV) (config.RulesFile, error) {
	v, err := config.Get(ctx, kv)
	if errors.Is(err, platform.ErrNotFound) {
		return config.RulesFile{}, nil
	}
	return v, err
}

func (a *rulesOptions) push(ctx context.Context, e *env, kv platform.KV) error {
	if a.author == "" {
		return failf(ExitUsage, "rules push: --author is required")
	}
	text, err := os.ReadFile(a.file)
	if err != nil {
		return err
	}
	cur, err := currentRules(ctx, kv)
	if err != nil {
		return err
	}
	if _, findings := rules.ParseEdit(a.file, cur.Text, text, time.Now()); len(findings) > 0 {
		printFindings(e.out, findings)
		return failf(ExitFindings, "%s: %d findings, nothing was changed", a.file, len(findings))
	}
	base := int64(a.base)
	if base == unsetBase {
		base = cur.Number
	}
	printChanges(e.out, rules.Diff(cur.Text, text))
	v, err := config.Push(ctx, kv, text, a.author, a.comment, base)
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		return a.printConflict(ctx, e, kv, conflict, text)
	}
	if errors.Is(err, config.ErrOutcomeUnknown) {
		return fmt.Errorf("%w; run 'sardinectl rules show' to see the active rules", err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "rules %d accepted\n", v.Number)
	return nil
}

// printConflict prints the conflicting lines of this edit and another operator's, and returns the
// error for the conflict. The store was not changed.
func (a *rulesOptions) printConflict(ctx context.Context, e *env, kv platform.KV, c *config.ConflictError, mine []byte) error {
	var base []byte
	if c.Base > 0 {
		if v, err := config.GetHistory(ctx, kv, c.Base); err == nil {
			base = v.Text
		}
	}
	for _, l := range rules.ThreeWayDiff(base, mine, c.Current.Text) {
		fmt.Fprintln(e.out, l)
	}
	return failf(ExitConflict, "conflict: %s has pushed rules %d in the meantime (%s); nothing was changed: merge and push with --base %d",
		c.Current.Author, c.Current.Number, c.Current.Comment, c.Current.Number)
}

func (a *rulesOptions) diff(ctx context.Context, e *env, kv platform.KV) error {
	text, err := os.ReadFile(a.file)
	if err != nil {
		return err
	}
	cur, err := currentRules(ctx, kv)
	if err != nil {
		return err
	}
	printChanges(e.out, rules.Diff(cur.Text, text))
	return nil
}

func (a *rulesOptions) show(ctx context.Context, e *env, kv platform.KV) error {
	v, err := config.Get(ctx, kv)
	if err != nil {
		return err
	}
	if e.output == "json" {
		return e.writeJSON(newRulesEntry(v))
	}
	fmt.Fprintf(e.errOut, "rules %d by %s at %s: %s\n", v.Number, v.Author, v.PushedAt().UTC().Format(time.RFC3339), v.Comment)
	_, err = e.out.Write(v.Text)
	return err
}

// rulesEntry is the JSON output for one accepted rules file.
type rulesEntry struct {
	Number  int64     `json:"number"`
	Author  string    `json:"author"`
	Comment string    `json:"comment"`
	Time    time.Time `json:"time"`
	Text    string    `json:"text,omitempty"`
}

func newRulesEntry(v config.RulesFile) rulesEntry {
	return rulesEntry{Number: v.Number, Author: v.Author, Comment: v.Comment, Time: v.PushedAt().UTC(), Text: string(v.Text)}
}

func (a *rulesOptions) history(ctx context.Context, e *env, kv platform.KV) error {
	found, err := config.ListHistory(ctx, kv, a.limit)
	if err != nil {
		return err
	}
	if e.output == "json" {
		entries := make([]rulesEntry, len(found))
		for i, v := range found {
			entries[i] = newRulesEntry(v)
			entries[i].Text = ""
		}
		return e.writeJSON(entries)
	}
	return e.writeTable(func(w io.Writer) {
		fmt.Fprintln(w, "number\ttime\tauthor\tcomment")
		for _, v := range found {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", v.Number, v.PushedAt().UTC().Format(time.RFC3339), v.Author, v.Comment)
		}
	})
}

func printFindings(w io.Writer, findings []rules.Finding) {
	for _, f := range findings {
		fmt.Fprintln(w, f)
	}
}

func printChanges(w io.Writer, changes []rules.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
}
