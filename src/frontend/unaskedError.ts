/** The error packet that a server sends without a command, before it ends a connection. */
import type { ServerError } from "./serverConnection.ts";

const errorMarker = 0xff;

/** SQL state of a lost connection. Without it, the MariaDB client ignores an error that it has not asked for. */
const connectionLostState = "#08S01";

/** Encodes the packet with sequence number 0; mysql2 cannot set the SQL state. */
export function encodeUnaskedError({ code, message }: ServerError): Buffer {
    const text = Buffer.from(`${connectionLostState}${message}`, "utf8");
    const header = Buffer.alloc(7);
    header.writeUIntLE(3 + text.length, 0, 3);
    header.writeUInt8(errorMarker, 4);
    header.writeUInt16LE(code, 5);
    return Buffer.concat([header, text]);
}
