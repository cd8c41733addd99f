// Package target sends requests to engines and plain services.
package target
