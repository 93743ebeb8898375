import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Route } from "../../../src/version/routing/route.ts";
import { RouteTable } from "../../../src/version/routing/routeTable.ts";

function createRoute(host: string, prefix: string): Route {
    return { name: `${host}${prefix}`, host, prefix } as Route;
}

describe("RouteTable", () => {
    it("finds the longest prefix of the host, without the query", () => {
        const table = RouteTable.create([
            createRoute("a.example", "/x/"),
            createRoute("a.example", "/x/y/"),
            createRoute("b.example", "/"),
        ]);
        const doTest = (host: string, target: string, name: string | undefined) =>
            assert.equal(table.getRoute(host, target)?.name, name, `${host} ${target}`);
        doTest("a.example", "/x/y/z", "a.example/x/y/");
        doTest("A.Example", "/x/yz", "a.example/x/");
        doTest("a.example", "/x", undefined);
        doTest("a.example", "/q?/x/y/", undefined);
        doTest("a.example", "/x/?/x/y/", "a.example/x/");
        doTest("b.example", "/", "b.example/");
        doTest("c.example", "/x/", undefined);
    });

    it("agrees with a linear search", () => {
        const prefix = fc.array(fc.constantFrom("a", "b", "ab"), { maxLength: 4 }).map(parts =>
            `/${parts.map(part => `${part}/`).join("")}`
        );
        fc.assert(
            fc.property(
                fc.uniqueArray(prefix, { maxLength: 8 }),
                prefix,
                fc.constantFrom("", "a", "?b/"),
                (prefixes, start, rest) => {
                    const table = RouteTable.create(prefixes.map(text => createRoute("h", text)));
                    const target = `${start}${rest}`;
                    const path = target.split("?")[0]!;
                    const expected =
                        prefixes.filter(text => path.startsWith(text)).sort((left, right) =>
                            right.length - left.length
                        )[0];
                    assert.equal(table.getRoute("h", target)?.prefix, expected);
                },
            ),
        );
    });
});
