package main

var cases = map[string]testCase{
	"latin1":  latin1,
	"reader":  reader,
	"deadly":  deadly,
	"calls":   callIDs,
	"foreign": foreign,
}
