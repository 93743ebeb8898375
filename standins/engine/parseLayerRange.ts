import type { LayerRange } from "../../src/version/configuration.ts";

/** Parses a layer range from the command line, such as `model:0-16`. */
export function parseLayerRange(text: string): LayerRange {
    const [, model = "", start, end] = /^(.+):(\d+)-(\d+)$/.exec(text) ?? [];
    if (Number(start) < Number(end)) {
        return { model, start: Number(start), end: Number(end) };
    }
    throw new Error(`Layer range "${text}" is malformed. Use the form MODEL:0-16.`);
}
