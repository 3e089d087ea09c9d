// Package response decides whether an HTTP/1.1 response is whole.
package response
