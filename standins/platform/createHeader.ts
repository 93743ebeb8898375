/** Creates the JSON form of an etcd v3 `ResponseHeader`. */
export function createHeader(revision: number): object {
    return { cluster_id: "1", member_id: "1", revision: String(revision), raft_term: "1" };
}
