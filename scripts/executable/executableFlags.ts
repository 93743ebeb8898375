/** Flags of Node.js with which the executable runs. */
export const executableFlags = [
    // A node has a share of one processor, on which garbage collection threads would compete with the main thread.
    "--single-threaded-gc",
    // Lets the program collect the buffers of received bodies.
    "--expose-gc",
    // In megabytes. By default, new objects may take three times 32 MB where the machine has much memory.
    "--max-semi-space-size=2",
];
