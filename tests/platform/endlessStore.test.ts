// Guards against a store, or what answers at its address, that sends bytes without end: a node collected them until the timeout of the call,
// which is half a minute for a call that waits for changes.
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { KeyValueStore } from "../../platform/keyValueStore.ts";
import { PlatformErrorKind } from "../../src/process/platform/platformError.ts";
import { EndlessEndpoint } from "../../standins/router/endlessEndpoint.ts";
import type { EndlessForm } from "../../standins/router/endlessForm.ts";
import { endlessForms } from "../../standins/router/endlessForms.ts";
import { waitUntil } from "../support/waitUntil.ts";

const { garbage, headField, headFields, informational, emptyLines, chunkExtension, trailers, event } = endlessForms;
const forms = { garbage, headField, headFields, informational, emptyLines, chunkExtension, trailers, body: event };
/** The largest response that a node takes, and what the sockets of both ends hold beside it. */
const maximumBytes = 16 * 1024 * 1024 + 8_000_000;
const maximumMilliseconds = 3_000;
const waitMilliseconds = 20_000;

describe("KeyValueStore at an address whose bytes never end", () => {
    let endless: EndlessEndpoint;
    let store: KeyValueStore;

    afterEach(async () => {
        store.close();
        await endless.close();
    });

    for (const [name, form] of Object.entries<EndlessForm>(forms)) {
        it(`ends a call that waits for changes soon: ${name}`, async () => {
            endless = await EndlessEndpoint.create({ form });
            store = KeyValueStore.create(endless.getAddress(), { onCall: () => undefined, onEra: () => undefined });
            const startedAt = performance.now();
            const result = await store.waitForChanges("p/", 1, waitMilliseconds, new AbortController().signal);
            const milliseconds = performance.now() - startedAt;
            assert.ok(result.err && result.val.kind === PlatformErrorKind.OutcomeUnknown);
            assert.ok(milliseconds < maximumMilliseconds, `It took ${milliseconds} ms.`);
            const { connections } = endless;
            await waitUntil(
                "the connection is closed",
                () => connections.every(connection => connection.milliseconds !== undefined),
            );
            const bytes = Math.max(...connections.map(connection => connection.bytes));
            assert.ok(bytes < maximumBytes, `A connection took ${bytes} bytes.`);
        });
    }
});
