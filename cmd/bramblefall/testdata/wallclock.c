// A library for LD_PRELOAD that shifts the wall clock of one process by an offset in nanoseconds, which it reads from a file. Go
// reads the clock through the vDSO, so the library replaces that entry in the process's own copy of the vDSO. x86-64 and arm64.
#define _GNU_SOURCE
#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum {
	ns_per_second = 1000000000,
};

static volatile const int64_t *offset;

#if defined(__x86_64__)

#define VDSO_CLOCK_GETTIME "__vdso_clock_gettime"

static long kernel_clock_gettime(clockid_t id, struct timespec *at) {
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "a"(SYS_clock_gettime), "D"(id), "S"(at) : "rcx", "r11", "memory");
	return result;
}

// jump is code that goes on at the address behind its first address_at bytes.
enum { address_at = 2 };
static const unsigned char jump[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; // mov rax, address; jmp rax

#elif defined(__aarch64__)

#define VDSO_CLOCK_GETTIME "__kernel_clock_gettime"

static long kernel_clock_gettime(clockid_t id, struct timespec *at) {
	register long number __asm__("x8") = SYS_clock_gettime;
	register long result __asm__("x0") = id;
	register struct timespec *second __asm__("x1") = at;
	__asm__ volatile("svc 0" : "+r"(result) : "r"(number), "r"(second) : "memory");
	return result;
}

// jump is code that goes on at the address behind its first address_at bytes.
enum { address_at = 8 };
static const unsigned char jump[16] = {0x50, 0, 0, 0x58, 0, 0x02, 0x1f, 0xd6}; // ldr x16, address; br x16

#else
#error "no jump for this architecture"
#endif

static long shifted_clock_gettime(clockid_t id, struct timespec *at) {
	long result = kernel_clock_gettime(id, at);
	if (result == 0 && id == CLOCK_REALTIME) {
		int64_t all = (int64_t)at->tv_sec * ns_per_second + at->tv_nsec + *offset;
		at->tv_sec = all / ns_per_second;
		at->tv_nsec = all % ns_per_second;
	}
	return result;
}

// replace overwrites the start of a function with a jump to shifted_clock_gettime.
static void replace(char *entry) {
	uintptr_t page_size = (uintptr_t)sysconf(_SC_PAGESIZE);
	uintptr_t from = (uintptr_t)entry & ~(page_size - 1);
	if (mprotect((void *)from, 2 * page_size, PROT_READ | PROT_WRITE | PROT_EXEC) != 0)
		mprotect((void *)from, page_size, PROT_READ | PROT_WRITE | PROT_EXEC);
	void *address = (void *)shifted_clock_gettime;
	memcpy(entry, jump, sizeof jump);
	memcpy(entry + address_at, &address, sizeof address);
	__builtin___clear_cache(entry, entry + sizeof jump);
}

__attribute__((constructor)) static void install(void) {
	const char *path = getenv("BRAMBLEFALL_TEST_WALLCLOCK");
	if (!path)
		return;
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	offset = mmap(0, sizeof *offset, PROT_READ, MAP_SHARED, fd, 0);
	close(fd);
	char *base = (char *)getauxval(AT_SYSINFO_EHDR);
	Elf64_Ehdr *head = (Elf64_Ehdr *)base;
	Elf64_Phdr *program = (Elf64_Phdr *)(base + head->e_phoff);
	Elf64_Dyn *dynamic = 0;
	for (int k = 0; k < head->e_phnum; k++)
		if (program[k].p_type == PT_DYNAMIC)
			dynamic = (Elf64_Dyn *)(base + program[k].p_offset);
	Elf64_Sym *symbols = 0;
	char *names = 0;
	for (; dynamic && dynamic->d_tag != DT_NULL; dynamic++) {
		if (dynamic->d_tag == DT_SYMTAB)
			symbols = (Elf64_Sym *)(base + dynamic->d_un.d_ptr);
		if (dynamic->d_tag == DT_STRTAB)
			names = base + dynamic->d_un.d_ptr;
	}
	for (Elf64_Sym *s = symbols; symbols && (char *)s < names; s++)
		if (!strcmp(names + s->st_name, VDSO_CLOCK_GETTIME))
			replace(base + s->st_value);
}
