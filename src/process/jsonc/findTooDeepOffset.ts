import { createScanner } from "jsonc-parser";

/**
 * Finds where the nesting of a text first goes deeper than a limit. The parser recurses, so that a hostile text
 * could otherwise use up the stack.
 * @param text - Text to scan.
 * @param limit - Deepest nesting allowed.
 * @returns The offset of the first bracket that is too deep, or undefined.
 */
export function findTooDeepOffset(text: string, limit: number): number | undefined {
    const scanner = createScanner(text, true);
    let depth = 0;
    for (scanner.scan(); scanner.getTokenOffset() < text.length; scanner.scan()) {
        // The first character tells a token's kind: strings begin with a quotation mark.
        const first = text[scanner.getTokenOffset()];
        if (first === "{" || first === "[") {
            depth += 1;
        }
        else if (first === "}" || first === "]") {
            depth -= 1;
        }
        if (depth > limit) {
            return scanner.getTokenOffset();
        }
    }
    return undefined;
}
