import type { Configuration } from "../../version/configuration.ts";
import type { Link } from "./link.ts";

/** Link inside a data centre, if none is configured: 0.1 ms and 1,250 MB/s. */
const defaultLocalLink: Link = { latencyMilliseconds: 0.1, bytesPerMillisecond: 1_250_000 };
/** Link between data centres that no path of configured links connects: 100 ms and 10 MB/s. */
const defaultRemoteLink: Link = { latencyMilliseconds: 100, bytesPerMillisecond: 10_000 };

/**
 * The links between data centres. A pair without a configured link uses the path of links with the lowest latency.
 * Built once for each configuration version.
 */
export class LinkTable {
    private readonly links: ReadonlyMap<string, ReadonlyMap<string, Link>>;

    private constructor(links: ReadonlyMap<string, ReadonlyMap<string, Link>>) {
        this.links = links;
    }

    /**
     * Creates the table.
     * @param configuration - Data centres and links.
     */
    static create(configuration: Pick<Configuration, "dataCentres" | "links">): LinkTable {
        const names = Object.keys(configuration.dataCentres);
        const links = new Map(names.map(name => [name, new Map([[name, defaultLocalLink]])]));
        for (const link of configuration.links) {
            const entry = {
                latencyMilliseconds: link.latencyMilliseconds,
                bytesPerMillisecond: link.megabytesPerSecond * 1_000,
            };
            links.get(link.from)?.set(link.to, entry);
            links.get(link.to)?.set(link.from, entry);
        }
        addMultiHopLinks(names, links);
        return new LinkTable(links);
    }

    /** Gets the link between two data centres. */
    getLink(from: string, to: string): Link {
        return this.links.get(from)?.get(to) ?? defaultRemoteLink;
    }
}

/** Adds missing pairs with the Floyd-Warshall algorithm on latency. A path's bandwidth is that of its slowest link. */
function addMultiHopLinks(names: readonly string[], links: ReadonlyMap<string, Map<string, Link>>): void {
    const multiHopPairs = new Set<string>();
    for (const middle of names) {
        for (const from of names) {
            const first = links.get(from)?.get(middle);
            if (first === undefined || from === middle) {
                continue;
            }
            for (const to of names) {
                const second = links.get(middle)?.get(to);
                const existing = links.get(from)?.get(to);
                if (second === undefined || to === middle || (existing && !multiHopPairs.has(`${from}/${to}`))) {
                    continue;
                }
                const latencyMilliseconds = first.latencyMilliseconds + second.latencyMilliseconds;
                if (existing === undefined || latencyMilliseconds < existing.latencyMilliseconds) {
                    const bytesPerMillisecond = Math.min(first.bytesPerMillisecond, second.bytesPerMillisecond);
                    links.get(from)?.set(to, { latencyMilliseconds, bytesPerMillisecond });
                    multiHopPairs.add(`${from}/${to}`);
                }
            }
        }
    }
}
