// Package settings reads the settings file.
package settings
