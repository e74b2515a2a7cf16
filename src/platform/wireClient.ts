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
import type { StatementFault } from "../model/sessionStatement.ts";
import { parseAddress } from "../model/socketAddress.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { decodeFault, decodePosition, decodeState, encodeCommand, proxyId } from "./wireCodec.ts";
import { LineReader, splitWords, wireEncoding } from "./wireLines.ts";

/** The parts of a reply that have been received so far. */
interface PartialReply {
    rows: string[];
    signature: string | undefined;
    fault: StatementFault | undefined;
    detail: string;
    complete: boolean;
}

interface Link {
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
                this.links.get(message.linkId)?.socket.write(
                    message.commands.map(encodeCommand).join(""),
                    wireEncoding,
                );
                return;
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
            this.post({ kind: LinkKind.Lost, linkId, loss: LinkLoss.NoListener, fault: undefined } as LinkLost);
            return;
        }
        const socket = connect({ ...target });
        socket.setNoDelay(true);
        const link = { socket, reader: new LineReader(), opened: false, partial: emptyReply() };
        this.links.set(linkId, link);
        socket.write(`CONNECT ${service} ${workspace === "" ? proxyId : workspace} ${databaseId}\r\n`, wireEncoding);
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
        const [keyword, first, rest] = splitWords(line, 2) as [string, string, string];
        switch (keyword) {
            case "ROW":
                link.partial.rows.push(line.slice("ROW ".length));
                return;
            case "COMPLETE":
                link.partial.signature = first;
                link.partial.complete = true;
                return;
            case "ERROR":
                link.partial.fault = decodeFault(first);
                link.partial.detail = rest;
                link.partial.complete = true;
                if (!link.opened) {
                    this.handleLoss(linkId, link, { loss: LinkLoss.Refused, fault: link.partial.fault });
                }
                return;
            case "READY":
                return this.finishReply(linkId, link, first, rest);
            default:
                this.endMalformed(linkId, link, `a message of ${line.length} bytes has an unknown kind`);
        }
    }

    private finishReply(linkId: string, link: Link, state: string, positionText: string): void {
        const position = decodePosition(positionText);
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
            transaction: decodeState(state),
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
        this.post({ kind: LinkKind.Lost, linkId, ...reason } as LinkLost);
    }
}

function emptyReply(): PartialReply {
    return { rows: [], signature: undefined, fault: undefined, detail: "", complete: false };
}

/** Decodes the row returned for status, pause, resume and step down. Returns undefined if the row is invalid. */
function decodeStatus(row: string): DatabaseStatus | undefined {
    const [role, term, received, held] = row.split(" ");
    const position = decodePosition(received ?? "");
    return position === undefined
        ? undefined
        : { leads: role === "primary", term: Number(term), receivedPosition: position, heldTerm: Number(held) };
}
