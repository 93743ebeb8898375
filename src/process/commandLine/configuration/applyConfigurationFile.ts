import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { applyConfiguration } from "../../../version/applyConfiguration.ts";
import { ApplyErrorKind } from "../../../version/applyErrorKind.ts";
import type { PlatformStore } from "../../platform/platformStore.ts";
import type { CommandContext } from "../commandContext.ts";
import { ExitCode } from "../exitCode.ts";
import { fetchNodeStatus } from "../fetchNodeStatus.ts";
import type { ApplyArguments } from "./applyArguments.ts";
import { loadConfiguration } from "./loadConfiguration.ts";
import { printDifferences } from "./printDifferences.ts";
import { readStoredConfiguration } from "./readStoredConfiguration.ts";
import { waitUntilInForce } from "./waitUntilInForce.ts";

const millisecondsPerSecond = 1000;

const exitCodes: Readonly<Record<ApplyErrorKind, ExitCode>> = {
    [ApplyErrorKind.InvalidText]: ExitCode.InvalidFile,
    [ApplyErrorKind.TooLarge]: ExitCode.InvalidFile,
    [ApplyErrorKind.ClaimParametersChanged]: ExitCode.InvalidFile,
    [ApplyErrorKind.LostRace]: ExitCode.LostRace,
    [ApplyErrorKind.StoreUnavailable]: ExitCode.Unreachable,
    [ApplyErrorKind.OutcomeUnknown]: ExitCode.Unreachable,
    [ApplyErrorKind.InvalidStoredValue]: ExitCode.Unreachable,
};

/** Runs `config apply`: prints the differences, asks for confirmation, applies the text and waits until it is in force. */
export async function applyConfigurationFile(
    options: ApplyArguments,
    store: PlatformStore,
    context: CommandContext,
): Promise<ExitCode> {
    const loaded = loadConfiguration(options.file, context);
    if (loaded === undefined) {
        return ExitCode.InvalidFile;
    }
    const stored = await readStoredConfiguration(store);
    if (stored.err) {
        context.printError(`Nothing was written. ${stored.val.message}`);
        return ExitCode.Unreachable;
    }
    printDifferences(stored.val, loaded.configuration, context);
    const declinedExitCode = await confirmApply(options, context);
    if (declinedExitCode !== undefined) {
        return declinedExitCode;
    }
    const editId = options.edit ?? randomUUID();
    context.printError(`Applying as edit ${editId}.`);
    const applied = await applyConfiguration({
        store,
        clock: context.clock,
        random: Math.random,
        text: loaded.text,
        expectedVersion: options.expect ?? stored.val?.version ?? 0,
        highestKnownVersion: await findHighestVersion(options.admin ?? []),
        editId,
        author: options.author ?? getUserName(),
    });
    if (applied.err) {
        context.printError(applied.val.message);
        return exitCodes[applied.val.kind];
    }
    const { version, isReplaced } = applied.val;
    context.print(`Version ${version} was accepted${isReplaced ? ", but a later edit has replaced it" : ""}.`);
    return options.wait ? await waitForNodes(version, options, context) : ExitCode.Success;
}

function getUserName(): string {
    try {
        return userInfo().username;
    }
    catch {
        // In containers the user often has no entry in the user database.
        return `uid ${process.getuid?.()}`;
    }
}

/** Asks for confirmation unless `--yes` is given. Returns an exit code if the user declines or can't be asked. */
async function confirmApply(options: ApplyArguments, context: CommandContext): Promise<ExitCode | undefined> {
    if (options.yes) {
        return undefined;
    }
    if (context.confirm === undefined) {
        context.printError(
            "Nothing was written: there is no terminal to ask for confirmation. Add --yes to apply without it.",
        );
        return ExitCode.Usage;
    }
    if (await context.confirm("Apply this?")) {
        return undefined;
    }
    context.print("Nothing was written.");
    return ExitCode.Success;
}

/** Finds the highest version in force on the nodes. A store that was restored from a backup may hold a lower one. */
async function findHighestVersion(addresses: readonly string[]): Promise<number | undefined> {
    let highest: number | undefined;
    for (const status of await Promise.all(addresses.map(fetchNodeStatus))) {
        if (status.ok) {
            highest = Math.max(status.val.configurationVersion, highest ?? 0);
        }
    }
    return highest;
}

async function waitForNodes(version: number, options: ApplyArguments, context: CommandContext): Promise<ExitCode> {
    const missing = await waitUntilInForce({
        version,
        addresses: options.admin ?? [],
        timeoutMilliseconds: options.timeout * millisecondsPerSecond,
        clock: context.clock,
        fetchStatus: fetchNodeStatus,
        printProgress: context.printError,
    });
    if (missing.length === 0) {
        context.print(`Version ${version} is in force everywhere.`);
        return ExitCode.Success;
    }
    context.printError(
        `Version ${version} was accepted, but was not confirmed to be in force on ${missing.join(", ")} `
            + `after ${options.timeout} seconds. Check these nodes; they apply it when they can reach a peer or the store.`,
    );
    return ExitCode.NotInForce;
}
