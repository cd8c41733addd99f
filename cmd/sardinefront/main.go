// Command sardinefront is the process on an entry host.
package main

func main() {}
