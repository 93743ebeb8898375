/** A message of the inspector's protocol, as far as it is read here. */
interface InspectorAnswer {
    id?: number;
}

/**
 * Collects the garbage of a node that was started with `--inspect`, so that its heap holds only what is in use.
 * @param lines - What the node has written; the inspector's address stands there.
 */
export async function collectNodeGarbage(lines: readonly string[]): Promise<void> {
    const address = /ws:\/\/127\.0\.0\.1:\d+\/\S+/.exec(lines.join("\n"))?.[0];
    if (address === undefined) {
        throw new Error("The node has no inspector. Start it with --inspect=127.0.0.1:0 in NODE_OPTIONS.");
    }
    const socket = new WebSocket(address);
    await new Promise((resolve, reject) => {
        socket.onopen = resolve;
        socket.onerror = reject;
    });
    const answered = new Promise<void>(resolve => {
        socket.onmessage = event => {
            if ((JSON.parse(String(event.data)) as InspectorAnswer).id === 1) {
                resolve();
            }
        };
    });
    socket.send(JSON.stringify({ id: 1, method: "HeapProfiler.collectGarbage" }));
    await answered;
    socket.close();
}
