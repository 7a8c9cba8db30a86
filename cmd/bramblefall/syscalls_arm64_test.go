package main

import "golang.org/x/sys/unix"

// pollSyscall is the system call that unix.Poll makes.
const pollSyscall = unix.SYS_PPOLL
