import type { SeededRandom } from "../seededRandom.ts";
import type { CallContent } from "./callContent.ts";
import { type CallKind, callKinds } from "./callKind.ts";

const maximumBodyCharacters = 3_000;

/** Creates the content of a request of a kind at random. */
export function createCall(id: string, kind: CallKind, random: SeededRandom): CallContent {
    const path = `/${kind}/${id}?of=${random.chooseInteger(0, 9)}`;
    const isGet = kind === callKinds.safe;
    const body = isGet ? "" : String(random.chooseInteger(0, 9)).repeat(random.chooseInteger(1, maximumBodyCharacters));
    return { id, kind, method: isGet ? "GET" : "POST", path, body };
}
