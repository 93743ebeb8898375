import {
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { findTooDeepOffset } from "./findTooDeepOffset.ts";
import type { TextFault } from "./textFault.ts";
import type { ValueFault } from "./valueFault.ts";

const maximumDepth = 50;

/** A parsed JSON with comments document that maps values to their positions in the text. */
export class JsoncDocument {
    private readonly lineStarts: number[];
    private readonly root: Node | undefined;
    private readonly faults: TextFault[] = [];

    private constructor(text: string) {
        this.lineStarts = findLineStarts(text);
        const tooDeep = findTooDeepOffset(text, maximumDepth);
        if (tooDeep !== undefined) {
            this.addFault(tooDeep, [], `The text is nested deeper than ${maximumDepth} levels. Flatten it.`);
            return;
        }
        const errors: ParseError[] = [];
        this.root = parseTree(text, errors, { allowTrailingComma: true });
        for (const error of errors) {
            const name = printParseErrorCode(error.error);
            this.addFault(
                error.offset,
                [],
                `The text is not valid JSON with comments (${name}). Correct the syntax here.`,
            );
        }
        if (this.root !== undefined) {
            this.checkKeys(this.root, []);
        }
    }

    /** Parses a text, in which comments and trailing commas are allowed. Never throws; see {@link getFaults}. */
    static create(text: string): JsoncDocument {
        return new JsoncDocument(text);
    }

    /** Gets the syntax errors and the duplicate or reserved keys. */
    getFaults(): readonly TextFault[] {
        return this.faults;
    }

    /** Gets the parsed value, whose objects have no prototype, or undefined if the text contains none. */
    getValue(): unknown {
        return this.root === undefined ? undefined : getNodeValue(this.root);
    }

    /** Checks if there is a value at a path. */
    hasValue(path: (string | number)[]): boolean {
        return this.root !== undefined && findNodeAtLocation(this.root, path) !== undefined;
    }

    /** Gets a fault with its position in the text: that of its value, or of the nearest enclosing value if it is missing. */
    locateFault(fault: ValueFault): TextFault {
        for (let length = fault.path.length; length >= 0 && this.root !== undefined; length--) {
            const node = findNodeAtLocation(this.root, fault.path.slice(0, length));
            if (node !== undefined) {
                const isKey = fault.isAboutKey === true && length === fault.path.length;
                const start = isKey ? node.parent?.offset ?? node.offset : node.offset;
                return { ...this.getPosition(start), path: formatPath(fault.path), message: fault.message };
            }
        }
        return { line: 1, column: 1, path: formatPath(fault.path), message: fault.message };
    }

    private checkKeys(node: Node, path: (string | number)[]): void {
        const seen = new Set<string>();
        for (const [index, child] of (node.children ?? []).entries()) {
            if (child.type !== "property") {
                this.checkKeys(child, [...path, index]);
                continue;
            }
            const [key, value] = child.children ?? [];
            if (key !== undefined) {
                this.checkKey(key, path, seen);
            }
            if (value !== undefined) {
                this.checkKeys(value, [...path, String(key?.value)]);
            }
        }
    }

    private checkKey(key: Node, parentPath: (string | number)[], seen: Set<string>): void {
        const name: string = key.value;
        const path = [...parentPath, name];
        if (seen.has(name)) {
            this.addFault(key.offset, path, `The key "${name}" occurs twice in this object. Remove one of them.`);
        }
        if (name === "__proto__") {
            this.addFault(key.offset, path, `The key "${name}" is reserved. Choose another name.`);
        }
        seen.add(name);
    }

    private addFault(offset: number, path: (string | number)[], message: string): void {
        this.faults.push({ ...this.getPosition(offset), path: formatPath(path), message });
    }

    private getPosition(offset: number): { line: number; column: number; } {
        let low = 0;
        let high = this.lineStarts.length - 1;
        while (low < high) {
            const middle = Math.ceil((low + high) / 2);
            if ((this.lineStarts[middle] ?? 0) <= offset) {
                low = middle;
            }
            else {
                high = middle - 1;
            }
        }
        return { line: low + 1, column: offset - (this.lineStarts[low] ?? 0) + 1 };
    }
}

function findLineStarts(text: string): number[] {
    const starts = [0];
    for (const match of text.matchAll(/\r\n|\n|\r/g)) {
        starts.push(match.index + match[0].length);
    }
    return starts;
}

function formatPath(path: (string | number)[]): string {
    let formatted = "";
    for (const segment of path) {
        if (typeof segment === "number") {
            formatted += `[${segment}]`;
        }
        else {
            formatted += formatted === "" ? segment : `.${segment}`;
        }
    }
    return formatted;
}
