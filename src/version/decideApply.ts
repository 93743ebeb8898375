import { isDeepStrictEqual } from "node:util";
import { maximumValueBytes } from "../process/platform/maximumValueBytes.ts";
import { Err, Ok, type Result } from "../result.ts";
import type { ApplyError } from "./applyError.ts";
import { ApplyErrorKind } from "./applyErrorKind.ts";
import type { ConfigurationEdit } from "./configurationEdit.ts";
import { parseConfiguration } from "./parseConfiguration.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";

const maximumEarlierEdits = 50;

const claimsChangedMessage =
    "The text changes `claims`, so that nodes would no longer find claims that are still valid. Nothing was "
    + "written. Keep the values that are in force.";

/** Next step of an edit: none, because it was already written, or writing a value. */
type ApplyStep =
    | { kind: "written"; version: number; isReplaced: boolean; }
    | { kind: "write"; next: StoredConfiguration; value: string; };

/**
 * Decides the next step of an edit from the value in the store.
 * @param edit - The edit.
 * @param currentValue - Value of the configuration's key; undefined if the key does not exist.
 * @param wallTime - Wall-clock time in milliseconds since the Unix epoch, stored for information only.
 */
export function decideApply(
    edit: ConfigurationEdit,
    currentValue: string | undefined,
    wallTime: number,
): Result<ApplyStep, ApplyError> {
    const decoded = currentValue === undefined ? Ok(undefined) : StoredConfiguration.decode(currentValue);
    if (decoded.err) {
        return Err({ kind: ApplyErrorKind.InvalidStoredValue, message: decoded.val.message });
    }
    const current = decoded.val;
    const edits = current === undefined ? [] : [current, ...current.earlierEdits];
    for (const [index, { version, editId }] of edits.entries()) {
        if (editId === edit.editId) {
            return Ok({ kind: "written", version, isReplaced: index > 0 });
        }
    }
    const currentVersion = current?.version ?? 0;
    if (currentVersion !== edit.expectedVersion) {
        return Err({ kind: ApplyErrorKind.LostRace, message: describeLostRace(edit, current), currentVersion });
    }
    if (current !== undefined && hasChangedClaims(current.text, edit.text)) {
        return Err({ kind: ApplyErrorKind.ClaimParametersChanged, message: claimsChangedMessage });
    }
    return encodeNext(edit, edits, wallTime);
}

/** Checks if the claim parameters differ. A key's shard and slot depend on them, so a change would hide claims that are still valid. */
function hasChangedClaims(currentText: string, nextText: string): boolean {
    const current = parseConfiguration(currentText);
    const next = parseConfiguration(nextText);
    return current.ok && next.ok && !isDeepStrictEqual(current.val.claims, next.val.claims);
}

function encodeNext(
    edit: ConfigurationEdit,
    edits: { version: number; editId: string; }[],
    wallTime: number,
): Result<ApplyStep, ApplyError> {
    const next: StoredConfiguration = {
        version: Math.max(edit.expectedVersion, edit.highestKnownVersion ?? 0) + 1,
        editId: edit.editId,
        text: edit.text,
        author: edit.author,
        appliedAt: wallTime,
        earlierEdits: edits.slice(0, maximumEarlierEdits).map(({ version, editId }) => ({ version, editId })),
    };
    const value = StoredConfiguration.encode(next);
    const bytes = Buffer.byteLength(value);
    if (bytes > maximumValueBytes) {
        const message =
            `The encoded text has ${bytes} bytes; the store accepts at most ${maximumValueBytes}. Shorten it.`;
        return Err({ kind: ApplyErrorKind.TooLarge, message });
    }
    return Ok({ kind: "write", next, value });
}

function describeLostRace(edit: ConfigurationEdit, current: StoredConfiguration | undefined): string {
    const found = current === undefined
        ? "the store holds no configuration"
        : `the store holds version ${current.version} by ${current.author}`;
    return `The text is based on version ${edit.expectedVersion}, but ${found}. Nothing was written. `
        + "Fetch the current text, make the change in it and apply it with its version.";
}
