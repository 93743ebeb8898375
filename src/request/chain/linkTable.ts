import type { Configuration } from "../../version/configuration.ts";
import type { Link } from "./link.ts";

/** Link inside a data centre where the configuration names none: 0.1 ms, 1,250 megabytes a second. */
const localLink: Link = { latencyMilliseconds: 0.1, bytesPerMillisecond: 1_250_000 };
/** Link between data centres that no configured link joins, also over others: 100 ms, 10 megabytes a second. */
const unknownLink: Link = { latencyMilliseconds: 100, bytesPerMillisecond: 10_000 };

/**
 * The links between data centres, with pairs that have no link of their own joined over the quickest others.
 * Built once for each configuration version.
 */
export class LinkTable {
    private readonly links: ReadonlyMap<string, ReadonlyMap<string, Link>>;

    private constructor(links: ReadonlyMap<string, ReadonlyMap<string, Link>>) {
        this.links = links;
    }

    /**
     * Builds the table.
     * @param configuration - Configuration whose data centres and links count.
     */
    static create(configuration: Pick<Configuration, "dataCentres" | "links">): LinkTable {
        const names = Object.keys(configuration.dataCentres);
        const links = new Map(names.map(name => [name, new Map([[name, localLink]])]));
        for (const link of configuration.links) {
            const entry = {
                latencyMilliseconds: link.latencyMilliseconds,
                bytesPerMillisecond: link.megabytesPerSecond * 1_000,
            };
            links.get(link.from)?.set(link.to, entry);
            links.get(link.to)?.set(link.from, entry);
        }
        joinOverOthers(names, links);
        return new LinkTable(links);
    }

    /** Gets the link between two data centres. */
    getLink(from: string, to: string): Link {
        return this.links.get(from)?.get(to) ?? unknownLink;
    }
}

/** Fills in missing pairs by the Floyd-Warshall algorithm on latency; the narrowest part gives the bandwidth. */
function joinOverOthers(names: readonly string[], links: ReadonlyMap<string, Map<string, Link>>): void {
    const joined = new Set<string>();
    for (const middle of names) {
        for (const from of names) {
            const first = links.get(from)?.get(middle);
            if (first === undefined || from === middle) {
                continue;
            }
            for (const to of names) {
                const second = links.get(middle)?.get(to);
                const present = links.get(from)?.get(to);
                if (second === undefined || to === middle || (present && !joined.has(`${from}/${to}`))) {
                    continue;
                }
                const latencyMilliseconds = first.latencyMilliseconds + second.latencyMilliseconds;
                if (present === undefined || latencyMilliseconds < present.latencyMilliseconds) {
                    const bytesPerMillisecond = Math.min(first.bytesPerMillisecond, second.bytesPerMillisecond);
                    links.get(from)?.set(to, { latencyMilliseconds, bytesPerMillisecond });
                    joined.add(`${from}/${to}`);
                }
            }
        }
    }
}
