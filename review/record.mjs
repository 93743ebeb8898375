// The record of a run: what was sent, answered and run, one line each, with the seconds since the start.
import { closeSync, openSync, writeSync } from "node:fs";
import { performance } from "node:perf_hooks";
import process from "node:process";

export class Record {
    constructor(path) {
        this.file = openSync(path, "w");
        this.startedAt = performance.now();
    }

    getSeconds() {
        return (performance.now() - this.startedAt) / 1_000;
    }

    write(text) {
        writeSync(this.file, `${this.getSeconds().toFixed(3).padStart(8)} ${text}\n`);
    }

    /** Writes a line to the record and to standard output. */
    report(text) {
        this.write(text);
        process.stdout.write(`${text}\n`);
    }

    close() {
        closeSync(this.file);
    }
}
