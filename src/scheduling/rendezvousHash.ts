/** The hash by which instances rank holders and databases alike, without asking each other. */

/** FNV-1a over UTF-16 code units, with a final mix so that names that differ only in the last letter spread well. */
export function rendezvousHash(text: string): number {
    let value = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
    }
    value = Math.imul(value ^ (value >>> 16), 0x7feb352d);
    return (value ^ (value >>> 15)) >>> 0;
}
