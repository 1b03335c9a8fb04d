//! The dynamic linking of a program, read from its ELF headers (64-bit, little-endian).

/// Types of program headers.
const LOAD: u64 = 1;
const DYNAMIC: u64 = 2;
const INTERPRETER: u64 = 3;

/// Tags of entries of the dynamic section.
const NEEDED: u64 = 1;
const STRING_TABLE: u64 = 5;

const DYNAMIC_ENTRY_BYTES: u64 = 16;

/// The interpreter and libraries that a program needs to be loaded.
pub struct DynamicLinking {
    pub interpreter: Option<String>,
    pub libraries: Vec<String>,
}

impl DynamicLinking {
    pub fn read(program: &[u8]) -> DynamicLinking {
        assert_eq!(&program[..6], b"\x7fELF\x02\x01", "a 64-bit program");
        let elf = Elf::new(program);
        DynamicLinking {
            interpreter: elf
                .segment(INTERPRETER)
                .map(|segment| elf.text(segment.offset)),
            libraries: elf.libraries(),
        }
    }
}

/// A segment of the program, with its place in the file and its address in memory.
struct Segment {
    kind: u64,
    offset: u64,
    address: u64,
    size: u64,
}

struct Elf<'p> {
    program: &'p [u8],
    segments: Vec<Segment>,
}

impl<'p> Elf<'p> {
    fn new(program: &'p [u8]) -> Elf<'p> {
        let mut elf = Elf {
            program,
            segments: Vec::new(),
        };
        let (table, size, count) = (elf.integer(32, 8), elf.integer(54, 2), elf.integer(56, 2));
        elf.segments = (0..count)
            .map(|index| table + index * size)
            .map(|header| Segment {
                kind: elf.integer(header, 4),
                offset: elf.integer(header + 8, 8),
                address: elf.integer(header + 16, 8),
                size: elf.integer(header + 32, 8),
            })
            .collect();
        elf
    }

    fn segment(&self, kind: u64) -> Option<&Segment> {
        self.segments.iter().find(|segment| segment.kind == kind)
    }

    fn libraries(&self) -> Vec<String> {
        let Some(dynamic) = self.segment(DYNAMIC) else {
            return Vec::new();
        };
        let entries: Vec<(u64, u64)> = (0..dynamic.size / DYNAMIC_ENTRY_BYTES)
            .map(|index| dynamic.offset + index * DYNAMIC_ENTRY_BYTES)
            .map(|entry| (self.integer(entry, 8), self.integer(entry + 8, 8)))
            .collect();
        let strings = entries
            .iter()
            .find(|(tag, _)| *tag == STRING_TABLE)
            .map(|(_, address)| self.file_offset(*address))
            .expect("a string table");
        entries
            .iter()
            .filter(|(tag, _)| *tag == NEEDED)
            .map(|(_, name)| self.text(strings + name))
            .collect()
    }

    fn file_offset(&self, address: u64) -> u64 {
        let segment = self
            .segments
            .iter()
            .filter(|segment| segment.kind == LOAD)
            .find(|segment| (segment.address..segment.address + segment.size).contains(&address))
            .expect("loaded");
        address - segment.address + segment.offset
    }

    fn integer(&self, offset: u64, size: usize) -> u64 {
        let mut bytes = [0; 8];
        bytes[..size].copy_from_slice(&self.program[offset as usize..offset as usize + size]);
        u64::from_le_bytes(bytes)
    }

    fn text(&self, offset: u64) -> String {
        let rest = &self.program[offset as usize..];
        let end = rest.iter().position(|byte| *byte == 0).expect("it ends");
        String::from_utf8_lossy(&rest[..end]).into_owned()
    }
}
