import type { StoryLine } from "./storyLine.ts";

/**
 * Formats a request's story, one line an event, with the time since its first line.
 * @param story - Lines in order of time.
 */
export function formatStory(story: readonly StoryLine[]): string[] {
    const start = story.find(({ isContext }) => !isContext)?.time ?? 0;
    return story.map(({ time, vm, event, message, fields, isContext }) => {
        const offset = `${time - start >= 0 ? "+" : ""}${time - start} ms`.padStart(10);
        const details = Object.entries(fields)
            .filter(([name, value]) => name !== "request" && value !== "")
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        return [offset, isContext ? "(endpoint)" : "request   ", vm, event, message, ...details].join(" ");
    });
}
