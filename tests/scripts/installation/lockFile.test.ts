import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { getNodePackage } from "../../../scripts/installation/getNodePackage.mjs";

interface LockedPackage {
    version?: string;
    optional?: boolean;
    cpu?: string | string[];
    os?: string | string[];
}

const root = new URL("../../../", import.meta.url);
const packages: Record<string, LockedPackage> =
    JSON.parse(readFileSync(new URL("package-lock.json", root), "utf8")).packages;
const machines = [["linux", "arm64"], ["linux", "x64"]] satisfies [string, string][];

// Guards against a dependency that installs on one kind of machine only, so that nothing can be built on the other.
describe("The lock file", () => {
    it("requires no package that only some kinds of machines can install", () => {
        const limited = Object.entries(packages).filter(([, { cpu, os }]) => cpu !== undefined || os !== undefined);
        assert.ok(limited.length > 0);
        assert.deepEqual(limited.filter(([, { optional }]) => !optional).map(([path]) => path), []);
    });

    it("has the same version of Node.js for all kinds of machines", () => {
        const versions = machines.map(machine => packages[getNodePackage(...machine)]?.version);
        assert.match(versions[0] ?? "", /^\d+\.\d+\.\d+$/);
        assert.equal(new Set(versions).size, 1);
        assert.throws(() => getNodePackage("linux", "s390x"), /linux-s390x.*linux-arm64, linux-x64/);
    });

    it("has the executables of each tool for all kinds of machines", () => {
        const executables = Object.entries(packages).filter(([, { cpu, os }]) => cpu !== undefined && os !== undefined);
        const families = Map.groupBy(
            executables,
            ([path]) =>
                path.replace(/-?(aix|android|darwin|freebsd|linux|netbsd|openbsd|openharmony|sunos|win32)-.*$/, ""),
        );
        assert.ok(families.size >= 3);
        for (const [family, members] of families) {
            for (const [os, cpu] of machines) {
                const isFitting = members.some(([, entry]) =>
                    [entry.os].flat().includes(os) && [entry.cpu].flat().includes(cpu)
                );
                assert.ok(isFitting, `${family} has no package for ${os}-${cpu}.`);
            }
        }
    });
});
