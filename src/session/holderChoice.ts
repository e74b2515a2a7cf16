/** Which instance holds the links to a database. */
import type { PeerInstance } from "../model/peerMessages.ts";

/**
 * One instance of the database's own data centre, the same one for every instance that knows the same others. Several
 * holders at once do no harm but use more connections.
 */
export function chooseHolder(
    instances: readonly PeerInstance[],
    databaseId: string,
    dataCentre: string,
): PeerInstance | undefined {
    const near = instances.filter(instance => instance.dataCentre === dataCentre);
    return near.map(instance => ({ instance, weight: hash(`${databaseId}/${instance.instanceId}`) }))
        .sort((left, right) => right.weight - left.weight)[0]?.instance;
}

/** FNV-1a over UTF-16 units, with a final mix so that names which differ in the last letter spread well. */
function hash(text: string): number {
    let value = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
    }
    value = Math.imul(value ^ (value >>> 16), 0x7feb352d);
    return (value ^ (value >>> 15)) >>> 0;
}
