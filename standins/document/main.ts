/** Starts a document service stand-in; see `--help`. */
import yargs from "yargs";
import { DocumentStandin } from "./documentStandin.ts";

const parsed = yargs(process.argv.slice(2))
    .option("name", { type: "string", demandOption: true, description: "Name of the endpoint." })
    .option("port", { type: "number", default: 0, description: "TCP port on 127.0.0.1; 0 for any free port." })
    .option("delay-milliseconds", { type: "number", default: 5, description: "Duration of an execution." })
    .strict()
    .parseSync();

const service = DocumentStandin.create(parsed);
process.on("SIGTERM", () => process.exit(0));
await service.listen();
console.log(`document ${parsed.name} ready on ${service.getAddress()}`);
