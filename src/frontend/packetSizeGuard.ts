/** Limits the size of packets that a peer announces, before the MySQL library collects their bytes. */

const headerBytes = 4;

/** Follows the packet headers in a stream of bytes; the length of the payload is in the first three bytes of each. */
export class PacketSizeGuard {
    /** Largest payload that is accepted. */
    limitBytes: number;
    private payloadLeft = 0;
    private headerRead = 0;
    private payloadBytes = 0;

    constructor(limitBytes: number) {
        this.limitBytes = limitBytes;
    }

    /** Returns whether all packets that begin in or before the chunk are within the limit. */
    accepts(chunk: Uint8Array): boolean {
        let offset = 0;
        while (offset < chunk.length) {
            if (this.payloadLeft > 0) {
                const skipped = Math.min(this.payloadLeft, chunk.length - offset);
                this.payloadLeft -= skipped;
                offset += skipped;
                continue;
            }
            if (this.headerRead < headerBytes - 1) {
                this.payloadBytes += chunk[offset]! * 256 ** this.headerRead;
            }
            offset += 1;
            this.headerRead += 1;
            if (this.headerRead === headerBytes) {
                if (this.payloadBytes > this.limitBytes) {
                    return false;
                }
                this.payloadLeft = this.payloadBytes;
                this.payloadBytes = 0;
                this.headerRead = 0;
            }
        }
        return true;
    }
}
