//! Log lines on a standard output that accepts only a part of what is written.
//!
//! A reader that is slow leaves little room in the pipe, so a write may end within a line. If the rest
//! of that line were dropped, the next line would run into it.

use {
    carobhitch::job::daemon::log_output::Output,
    std::{
        cell::RefCell,
        io::{self, Write},
        rc::Rc,
    },
};

/// Pipe with room for some bytes.
#[derive(Clone, Default)]
struct Pipe {
    room: Rc<RefCell<usize>>,
    received: Rc<RefCell<Vec<u8>>>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut room = self.room.borrow_mut();
        if *room == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let count = bytes.len().min(*room);
        *room -= count;
        self.received.borrow_mut().extend(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Pipe {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.received.borrow()).into_owned()
    }
}

fn write_line(output: &mut Output<Pipe>, line: &str) -> io::Result<()> {
    output.write_all(line.as_bytes())?;
    output.write_all(b"\n")?;
    output.flush()
}

#[test]
fn a_line_of_which_a_part_was_written_is_completed_first() -> io::Result<()> {
    let pipe = Pipe::default();
    let mut output = Output::new(pipe.clone());
    *pipe.room.borrow_mut() = 8;
    write_line(&mut output, "first: task=1")?;
    write_line(&mut output, "second: task=2")?;
    *pipe.room.borrow_mut() = 3;
    write_line(&mut output, "third: task=3")?;
    *pipe.room.borrow_mut() = 1_000;
    write_line(&mut output, "fourth: task=4")?;
    assert_eq!(pipe.text(), "first: task=1\nfourth: task=4\nlog: dropped=2\n");
    Ok(())
}

#[test]
fn every_line_is_written_whole_or_counted() -> io::Result<()> {
    let pipe = Pipe::default();
    let mut output = Output::new(pipe.clone());
    for number in 0..400 {
        *pipe.room.borrow_mut() += number * 7 % 19;
        write_line(&mut output, &format!("part: number={number}"))?;
    }
    *pipe.room.borrow_mut() = 100_000;
    output.flush()?;
    let text = pipe.text();
    let mut dropped = 0;
    let mut whole = 0;
    for line in text.lines() {
        match (line.strip_prefix("part: number="), line.strip_prefix("log: dropped=")) {
            (Some(number), _) => whole += usize::from(number.parse::<u32>().is_ok()),
            (_, Some(count)) => dropped += count.parse::<usize>().unwrap_or_default(),
            _ => panic!("{line:?} is not a line that was logged"),
        }
    }
    assert_eq!(whole + dropped, 400);
    Ok(())
}
