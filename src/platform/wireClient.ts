/** Client side of the wire protocol, towards databases: one connection is one link. */
import { connect, type Socket } from "node:net";
import {
    type DatabaseStatus,
    type LinkClose,
    LinkKind,
    LinkLoss,
    type LinkLost,
    type LinkOpen,
    type LinkOpened,
    type LinkReplied,
    type LinkReply,
    type LinkSend,
} from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import type { StatementFault, TransactionState } from "../model/sessionStatement.ts";
import { parseAddress } from "../model/socketAddress.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import {
    decodeCount,
    decodeFault,
    decodePosition,
    decodeState,
    encodeCommand,
    encodeConnect,
    proxyId,
} from "./wireCodec.ts";
import { LineReader, splitWords, wireEncoding } from "./wireLines.ts";

/** Maximum of a reply; one of bytes that JSON escapes still fits into a message between instances. */
const maximumReplyBytes = 8 * 1_048_576;

/** Memory that a row occupies besides its text. */
const rowOverheadBytes = 64;

/** The parts of a reply that have been received so far. */
interface PartialReply {
    rows: string[];
    rowsBytes: number;
    signature: string | undefined;
    fault: StatementFault | undefined;
    detail: string;
    complete: boolean;
}

interface Link {
    readonly databaseId: string;
    readonly socket: Socket;
    readonly reader: LineReader;
    opened: boolean;
    partial: PartialReply;
}

export interface WireClientOptions {
    readonly post: (message: Message) => void;
}

type Input = LinkOpen | LinkSend | LinkClose;

export class WireClient implements Sink<Input>, AsyncDisposable {
    readonly accepts = [LinkKind.Open, LinkKind.Send, LinkKind.Close];
    private readonly post: (message: Message) => void;
    private readonly links = new Map<string, Link>();

    constructor({ post }: WireClientOptions) {
        this.post = post;
    }

    deliver(message: Input): void {
        switch (message.kind) {
            case LinkKind.Open:
                return this.open(message);
            case LinkKind.Send:
                return this.send(message);
            case LinkKind.Close:
                return this.close(message.linkId);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.links.forEach(({ socket }) => socket.destroy());
        this.links.clear();
    }

    private open({ linkId, address, service, workspace, databaseId }: LinkOpen): void {
        const target = parseAddress(address);
        if (target === undefined) {
            this.post(
                { kind: LinkKind.Lost, linkId, loss: LinkLoss.NoListener, fault: undefined, databaseId } as LinkLost,
            );
            return;
        }
        let opening: string;
        try {
            opening = encodeConnect(service, workspace, databaseId);
        }
        catch (error) {
            const defect = (error as RangeError).message;
            this.post({ kind: LinkKind.Lost, linkId, loss: LinkLoss.Refused, fault: undefined, defect } as LinkLost);
            return;
        }
        const socket = connect({ ...target });
        socket.setNoDelay(true);
        const link = { databaseId, socket, reader: new LineReader(), opened: false, partial: emptyReply() };
        this.links.set(linkId, link);
        socket.write(opening, wireEncoding);
        socket.on("data", chunk => this.receive(linkId, link, chunk));
        socket.on(
            "error",
            (error: NodeJS.ErrnoException) => {
                const loss = error.code === "ECONNREFUSED" ? LinkLoss.NoListener : LinkLoss.Broken;
                this.handleLoss(linkId, link, { loss, fault: undefined });
            },
        );
        socket.on("close", () => this.handleLoss(linkId, link, { loss: LinkLoss.Broken, fault: undefined }));
    }

    /** Sends commands; if one cannot be written, none is sent, and the link ends. */
    private send({ linkId, commands }: LinkSend): void {
        const link = this.links.get(linkId);
        if (link === undefined) {
            return;
        }
        try {
            link.socket.write(commands.map(encodeCommand).join(""), wireEncoding);
        }
        catch (error) {
            this.endMalformed(linkId, link, (error as RangeError).message);
        }
    }

    /** Closes the link without posting a message. */
    private close(linkId: string): void {
        const link = this.links.get(linkId);
        this.links.delete(linkId);
        link?.socket.end("QUIT\r\n");
        link?.socket.destroySoon();
    }

    private receive(linkId: string, link: Link, chunk: Buffer): void {
        let lines: readonly string[];
        try {
            lines = link.reader.push(chunk);
        }
        catch (error) {
            // The reader throws only if a line exceeds the limit; the lines after it cannot be delimited reliably.
            this.endMalformed(linkId, link, (error as RangeError).message);
            return;
        }
        for (const line of lines) {
            if (this.links.get(linkId) === link) {
                this.receiveLine(linkId, link, line);
            }
        }
    }

    private receiveLine(linkId: string, link: Link, line: string): void {
        const [keyword, fields] = splitWords(line, 1) as [string, string];
        if (keyword === "READY") {
            return this.receiveReady(linkId, link, fields);
        }
        if (link.partial.complete) {
            return this.endMalformed(linkId, link, "a reply goes on after its outcome");
        }
        if (keyword === "ERROR") {
            return this.receiveError(linkId, link, fields);
        }
        if (!link.opened) {
            return this.endMalformed(linkId, link, "a reply before the link is open");
        }
        if (keyword === "ROW" && line.length > keyword.length) {
            return this.receiveRow(linkId, link, fields);
        }
        if (keyword === "COMPLETE") {
            link.partial.signature = fields;
            link.partial.complete = true;
            return;
        }
        this.endMalformed(linkId, link, `a message of ${line.length} bytes is none of the protocol`);
    }

    private receiveRow(linkId: string, link: Link, row: string): void {
        const { partial } = link;
        partial.rows.push(row);
        partial.rowsBytes += row.length + rowOverheadBytes;
        if (partial.rowsBytes > maximumReplyBytes) {
            this.endMalformed(linkId, link, `a reply exceeds ${maximumReplyBytes} bytes`);
        }
    }

    private receiveError(linkId: string, link: Link, fields: string): void {
        const [code, detail] = splitWords(fields, 1) as [string, string];
        const fault = decodeFault(code);
        if (!link.opened) {
            return this.handleLoss(linkId, link, { loss: LinkLoss.Refused, fault });
        }
        Object.assign(link.partial, { fault, detail, complete: true });
    }

    private receiveReady(linkId: string, link: Link, fields: string): void {
        const [letter, positionText] = splitWords(fields, 1) as [string, string];
        const state = decodeState(letter);
        const position = decodePosition(positionText);
        if (state === undefined || position === undefined && positionText !== proxyId) {
            return this.endMalformed(linkId, link, "an invalid state or position");
        }
        this.finishReply(linkId, link, state, position);
    }

    private finishReply(
        linkId: string,
        link: Link,
        transaction: TransactionState,
        position: Position | undefined,
    ): void {
        if (!link.opened) {
            link.opened = true;
            this.post({ kind: LinkKind.Opened, linkId, position } as LinkOpened);
            return;
        }
        const { rows, signature, fault, detail, complete } = link.partial;
        link.partial = emptyReply();
        if (!complete) {
            if (rows.length > 0) {
                this.endMalformed(linkId, link, `${rows.length} rows without an outcome`);
            }
            // Otherwise the database has repeated its reply to CONNECT.
            return;
        }
        const isSigned = signature !== undefined && signature !== "" && signature !== proxyId;
        const status = !isSigned && rows.length === 1 ? decodeStatus(rows[0]!) : undefined;
        const reply: LinkReply = {
            rows,
            signature: isSigned ? signature : undefined,
            fault,
            detail,
            transaction,
            position,
            status,
        };
        this.post({ kind: LinkKind.Replied, linkId, reply } as LinkReplied);
    }

    /** Ends a link on which a message came that is none of the protocol. */
    private endMalformed(linkId: string, link: Link, defect: string): void {
        this.handleLoss(linkId, link, { loss: LinkLoss.Broken, fault: undefined, defect });
    }

    private handleLoss(linkId: string, link: Link, reason: Pick<LinkLost, "loss" | "fault" | "defect">): void {
        if (this.links.get(linkId) !== link) {
            return;
        }
        this.links.delete(linkId);
        link.socket.destroy();
        this.post({ kind: LinkKind.Lost, linkId, databaseId: link.databaseId, ...reason } as LinkLost);
    }
}

function emptyReply(): PartialReply {
    return { rows: [], rowsBytes: 0, signature: undefined, fault: undefined, detail: "", complete: false };
}

/** Decodes the row returned for status, pause, resume and step down. Returns undefined if the row is invalid. */
function decodeStatus(row: string): DatabaseStatus | undefined {
    const [role, term, received, held] = row.split(" ") as (string | undefined)[];
    const receivedPosition = decodePosition(received ?? "");
    const termNumber = decodeCount(term);
    const heldTerm = decodeCount(held);
    const isKnown = role === "primary" || role === "replica";
    return receivedPosition === undefined || termNumber === undefined || heldTerm === undefined || !isKnown
        ? undefined
        : { leads: role === "primary", term: termNumber, receivedPosition, heldTerm };
}
