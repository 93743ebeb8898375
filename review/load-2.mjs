/** Loads every stand-in that the cases start. */
import process from "node:process";

const modules = [
    "../standins/router/callerKey.ts",
    "../standins/router/createBootFile.ts",
    "../standins/router/createConfiguration.ts",
    "../standins/router/createEndpointRecord.ts",
    "../standins/router/keyValueStandin.ts",
    "./consumer-2.mjs",
    "./deployment-2.mjs",
    "./record-2.mjs",
    "./runner-2.mjs",
];

for (const name of modules) {
    await import(name);
}
process.stdout.write(`${modules.length} modules of stand-ins are ready.\n`);
