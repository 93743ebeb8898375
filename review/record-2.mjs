/** The record of a case: what was sent, answered and run, with the seconds since its start. */
import { closeSync, openSync, writeSync } from "node:fs";
import process from "node:process";
import { Deployment } from "./deployment-2.mjs";

const millisecondsPerSecond = 1_000;
/** Code for a broken rule, for which run.sh exits with 1. Node.js itself ends with 1 if a module can't be loaded. */
const brokenCode = 10;

/** Opens `record.txt` in the folder of a case. */
export function openRecord(folder) {
    const file = openSync(`${folder}/record.txt`, "w");
    const startedAt = Date.now();
    return {
        /** Writes a line. */
        note(text) {
            const seconds = (Date.now() - startedAt) / millisecondsPerSecond;
            writeSync(file, `${seconds.toFixed(3).padStart(8)}  ${text}\n`);
        },
        /** Writes a line, also to the output. */
        say(text) {
            this.note(text);
            process.stdout.write(`${text}\n`);
        },
        /** Ends the record. */
        close: () => closeSync(file),
    };
}

/**
 * Runs a case, and ends the process with 10 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
 * @param folder - Folder of the case.
 * @param run - Gets the record and whether the disruption is played. Returns whether the rule was broken.
 */
export async function runCase(folder, run) {
    const record = openRecord(folder);
    const hasTrouble = process.env["TROUBLE"] !== "0";
    let code = 2;
    const end = reason => {
        record.say(`the case could not run: ${reason}`);
        void Deployment.closeAll().then(() => process.exit(2));
    };
    process.on("SIGTERM", () => end("it took too long, or was ended"));
    process.on("uncaughtException", error => end(error.stack));
    try {
        record.say(hasTrouble ? "with the disruption" : "without the disruption");
        const isBroken = await run(record, hasTrouble);
        record.say(isBroken ? "the rule was broken" : "the rule held");
        code = isBroken ? brokenCode : 0;
    }
    catch (error) {
        record.say(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
    }
    await Deployment.closeAll();
    record.close();
    process.exit(code);
}
