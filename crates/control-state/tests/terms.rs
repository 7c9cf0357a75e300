//! The bound of registers by what a machine has.

use fallgap_control_state::Terms;

#[test]
fn the_bound_of_registers_follows_memory_and_disk() {
    // (memory in MB, disk in MB, registers)
    let table = [
        (0, 0, 20_000),
        (32, 64, 20_000),
        (64, 64, 20_000),
        (64, 100_000, 20_000),
        (128, 64, 46_666),
        (160, 64, 60_000),
        (260, 16, 20_000),
        // The machines of today's sites: a lock and a number for each of 29,000 tenants.
        (260, 64, 60_160),
        (256, 128, 100_000),
        (u64::MAX, u64::MAX, 100_000),
    ];
    for (memory, disk, registers) in table {
        assert_eq!(Terms::for_machine(memory, disk).registers, registers, "{memory} MB, {disk} MB");
    }
    assert_eq!(Terms::default().registers, Terms::for_machine(64, 64).registers);
}
