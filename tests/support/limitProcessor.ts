/** Part of a core that the process may use from the first signal on. */
let share = Number(process.env["PROCESSOR_SHARE"] ?? 1);
/** Factor by which each further signal raises the share. */
const shareStep = Number(process.env["PROCESSOR_SHARE_STEP"] ?? 1);
const checkMilliseconds = 5;
/** Processor time that the process may use at once. */
const burstMilliseconds = 20;
const microsecondsPerMillisecond = 1_000;

/** Lets the process sleep for as long as its processor time exceeds its share, as a quota of the operating system does. */
function limitProcessor(): void {
    const cell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    let last = { at: performance.now(), usage: process.cpuUsage() };
    let debt = 0;
    setInterval(() => {
        const { user, system } = process.cpuUsage(last.usage);
        const now = performance.now();
        debt += (user + system) / microsecondsPerMillisecond - (now - last.at) * share;
        last = { at: now, usage: process.cpuUsage() };
        debt = Math.max(debt, -burstMilliseconds);
        if (debt > 0) {
            Atomics.wait(cell, 0, 0, debt / share);
        }
    }, checkMilliseconds);
}

process.once("SIGUSR2", () => {
    limitProcessor();
    process.on("SIGUSR2", () => {
        share *= shareStep;
    });
});
