/** Starts the platform stand-in as a process. It exits with status 0 on SIGTERM. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { PlatformStandin } from "./platformStandin.ts";

const options = await yargs(hideBin(process.argv))
    .option("port", { type: "number", demandOption: true, describe: "TCP port on 127.0.0.1; 0 for any free port." })
    .option("vm-list-lag-milliseconds", { type: "number", default: 1_000, describe: "Lag of the VM list." })
    .option("writes-per-second", { type: "number", describe: "Rate limit of transactions and lease calls." })
    .option("reads-per-second", { type: "number", describe: "Rate limit of range and watch calls." })
    .strict()
    .parse();

const standin = await PlatformStandin.create(options);
process.once("SIGTERM", () => void standin.close());
console.log(`platform stand-in ready on ${standin.getAddress()}`);
