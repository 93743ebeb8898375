/** The part of an inspector protocol response that is read here. */
interface InspectorResponse {
    id?: number;
}

/**
 * Runs the garbage collector of a node that was started with `--inspect`, so that its heap holds only objects in use.
 * @param lines - Output of the node, which contains the address of the inspector.
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
    const responded = new Promise<void>(resolve => {
        socket.onmessage = event => {
            if ((JSON.parse(String(event.data)) as InspectorResponse).id === 1) {
                resolve();
            }
        };
    });
    socket.send(JSON.stringify({ id: 1, method: "HeapProfiler.collectGarbage" }));
    await responded;
    socket.close();
}
