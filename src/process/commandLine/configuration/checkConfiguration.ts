import type { CommandContext } from "../commandContext.ts";
import { ExitCode } from "../exitCode.ts";
import { loadConfiguration } from "./loadConfiguration.ts";

/** Runs `config check`. */
export async function checkConfiguration(file: string, context: CommandContext): Promise<ExitCode> {
    const loaded = loadConfiguration(file, context);
    if (loaded === undefined) {
        return ExitCode.InvalidFile;
    }
    const { services, endpoints, customers } = loaded.configuration;
    const counts = [
        `${Object.keys(services).length} services`,
        `${Object.keys(endpoints).length} endpoints`,
        `${Object.keys(customers).length} customers`,
    ];
    context.print(`${file} is correct: ${counts.join(", ")}.`);
    return ExitCode.Success;
}
