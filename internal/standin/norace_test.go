//go:build !race

package standin

const raced = false
