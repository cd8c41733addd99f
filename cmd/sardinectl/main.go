// Command sardinectl is the operator command line.
package main

func main() {}
