/** Parses and formats the addresses of the stand-ins. */

export interface Address {
    readonly host: string;
    readonly port: number;
}

/** @throws Error when the text is not `host:port` */
export function parseAddress(text: string): Address {
    const colon = text.lastIndexOf(":");
    const port = Number(text.slice(colon + 1));
    if (colon < 1 || !Number.isInteger(port) || port < 0 || port > 65_535) {
        throw new Error(`"${text}" is not host:port`);
    }
    return { host: text.slice(0, colon), port };
}

export function formatAddress(address: Address): string {
    return `${address.host}:${address.port}`;
}

// JASMINE FOLLOW names the MySQL address of the primary, from which the replication address has to be derived. A
// second loopback address with the same port separates the two listeners without another setting.
const replicationHost = "127.0.0.2";

/** Returns the replication address of the database whose MySQL listener is at `mysql`. */
export function replicationAddress(mysql: Address): Address {
    return { host: replicationHost, port: mysql.port };
}
