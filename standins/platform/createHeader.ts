/** Creates a `ResponseHeader` of the etcd v3 API in JSON. */
export function createHeader(revision: number): object {
    return { cluster_id: "1", member_id: "1", revision: String(revision), raft_term: "1" };
}
