/** Starts the platform's stand-in as a process; it ends with status 0 at SIGTERM. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { PlatformStandin } from "./platformStandin.ts";

const options = await yargs(hideBin(process.argv))
    .option("port", { type: "number", demandOption: true, describe: "Port on 127.0.0.1; 0 for any free one." })
    .option("vm-list-lag-milliseconds", { type: "number", default: 1_000, describe: "Age of the list of machines." })
    .option("writes-per-second", { type: "number", describe: "Limit of transactions and lease calls." })
    .option("reads-per-second", { type: "number", describe: "Limit of range and watch calls." })
    .strict()
    .parse();

const standin = await PlatformStandin.create(options);
process.once("SIGTERM", () => void standin.close());
console.log(`platform stand-in ready on ${standin.getAddress()}`);
