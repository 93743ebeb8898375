import type { Metafile } from "esbuild";

/** Name under which the project's own files are counted. */
const ownName = "foxlead";
const libraryPattern = /node_modules\/((?:@[^/]+\/)?[^/]+)/;

/** Gets the bytes that each library takes in a bundle, the largest first. */
export function getLibraryBytes({ outputs }: Metafile): Map<string, number> {
    const bytes = new Map<string, number>();
    for (const { inputs } of Object.values(outputs)) {
        for (const [file, { bytesInOutput }] of Object.entries(inputs)) {
            const name = libraryPattern.exec(file)?.[1] ?? ownName;
            bytes.set(name, (bytes.get(name) ?? 0) + bytesInOutput);
        }
    }
    return new Map([...bytes].sort(([, first], [, second]) => second - first));
}
