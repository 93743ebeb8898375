import { createScanner } from "jsonc-parser";

/**
 * Finds the first place where the nesting of a text exceeds a limit. The parser is recursive, so a malicious text could
 * otherwise overflow the stack.
 * @param limit - Maximum nesting depth.
 * @returns The offset of the first bracket that is nested too deeply, or undefined if there is none.
 */
export function findTooDeepOffset(text: string, limit: number): number | undefined {
    const scanner = createScanner(text, true);
    let depth = 0;
    for (scanner.scan(); scanner.getTokenOffset() < text.length; scanner.scan()) {
        // The first character is enough to identify brackets, since strings start with a quotation mark.
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
