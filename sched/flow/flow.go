// Package flow queues requests in front of a pool of targets.
package flow
