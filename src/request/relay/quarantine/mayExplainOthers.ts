import { crashThresholds } from "./crashThresholds.ts";
import type { Suspect } from "./suspect.ts";

/** Checks if a suspect may be the likelier cause of crashes under another suspect; see `judgeSuspect`. Most suspects never are. */
export function mayExplainOthers(suspect: Suspect, convicted: ReadonlySet<Suspect>): boolean {
    const { isPart, wasAnswered, crashes } = suspect;
    const neededCrashes = isPart ? crashThresholds.minimum : crashThresholds.certain;
    return !wasAnswered && crashes.size >= neededCrashes || convicted.has(suspect);
}
