/** Entry point of the program `foxlead`. */
import { createInterface } from "node:readline/promises";
import { createPlatformCommand } from "../platform/createPlatformCommand.ts";
import { runCommandLine } from "./process/commandLine/runCommandLine.ts";
import { systemClock } from "./process/systemClock.ts";

const isTerminal = process.stdin.isTTY === true && process.stderr.isTTY === true;

async function confirm(question: string): Promise<boolean> {
    const reader = createInterface({ input: process.stdin, output: process.stderr });
    // The end of the input means no.
    const ended = new Promise<string>(resolve => {
        reader.once("close", () => resolve(""));
    });
    const answer = await Promise.race([reader.question(`${question} [y/N] `), ended]);
    reader.close();
    return /^y(es)?$/i.test(answer.trim());
}

runCommandLine(process.argv.slice(2), {
    clock: systemClock,
    print: line => process.stdout.write(`${line}\n`),
    printError: line => process.stderr.write(`${line}\n`),
    confirm: isTerminal ? confirm : undefined,
}, [createPlatformCommand]).then(exitCode => process.exit(exitCode));
