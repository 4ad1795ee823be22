package storetest

import "github.com/wagtaildrum/wagtaildrum/store"

var _ store.Store = (*Memory)(nil)
