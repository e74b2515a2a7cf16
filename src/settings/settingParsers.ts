/** Parsers for the values of settings, with the descriptions that error messages and help texts print. */

/** Parses and validates the text of a setting. */
export interface SettingParser<Value> {
    /** Description of the allowed values, for help texts and error messages. */
    readonly allowedValues: string;
    /** @returns undefined when the text is not an allowed value */
    parse(text: string): Value | undefined;
}

/** Network address that a process listens on or connects to. */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
}

/** An instance that stores the control state, with its gRPC address. */
export interface ControlMember {
    readonly instanceId: string;
    /** `host:port` */
    readonly address: string;
}

export class NameParser implements SettingParser<string> {
    readonly allowedValues = "1 to 64 letters, digits, '_', '.' or '-'";

    parse(text: string): string | undefined {
        return /^[\w.-]{1,64}$/.test(text) ? text : undefined;
    }
}

export class PathParser implements SettingParser<string> {
    readonly allowedValues = "a path";

    parse(text: string): string | undefined {
        return text === "" || text.includes("\0") ? undefined : text;
    }
}

export class EndpointParser implements SettingParser<Endpoint> {
    readonly allowedValues = "IP:PORT, with a port from 0 to 65535";

    parse(text: string): Endpoint | undefined {
        const match = /^(?:\[([0-9a-fA-F:]+)\]|([\d.]+)):(\d{1,5})$/.exec(text);
        const port = Number(match?.[3]);
        const host = match?.[1] ?? match?.[2];
        return host === undefined || port > 65_535 ? undefined : { host, port };
    }
}

export class ControlMembersParser implements SettingParser<readonly ControlMember[]> {
    readonly allowedValues = "1, 3, 5 or 7 of ID=IP:PORT, separated by commas, each id once";

    parse(text: string): readonly ControlMember[] | undefined {
        const members = text.split(",").map(part => parseMember(part));
        const validMembers = members.filter(member => member !== undefined);
        const ids = new Set(validMembers.map(member => member.instanceId));
        const isAllowed = validMembers.length === members.length && ids.size === members.length
            && [1, 3, 5, 7].includes(members.length);
        return isAllowed ? validMembers : undefined;
    }
}

/**
 * Parses the address translation between instances: a map from the address that a peer announces to the address under
 * which this instance reaches it, both `host:port`.
 */
export class PeerAddressesParser implements SettingParser<ReadonlyMap<string, string>> {
    readonly allowedValues = "ANNOUNCED=REACHED pairs of IP:PORT, separated by commas, each announced address once";

    parse(text: string): ReadonlyMap<string, string> | undefined {
        const pairs = text === "" ? [] : text.split(",").map(part => part.split("="));
        const areAddresses = pairs.every(pair =>
            pair.length === 2 && pair.every(address => new EndpointParser().parse(address) !== undefined)
        );
        const reachedByAnnounced = new Map(pairs as [string, string][]);
        return areAddresses && reachedByAnnounced.size === pairs.length ? reachedByAnnounced : undefined;
    }
}

export class IntegerParser implements SettingParser<number> {
    readonly allowedValues: string;
    private readonly minimum: number;
    private readonly maximum: number;

    constructor(minimum: number, maximum: number) {
        this.minimum = minimum;
        this.maximum = maximum;
        this.allowedValues = `a whole number from ${minimum} to ${maximum}`;
    }

    parse(text: string): number | undefined {
        const value = Number(text);
        const isAllowed = /^\d+$/.test(text) && value >= this.minimum && value <= this.maximum;
        return isAllowed ? value : undefined;
    }
}

export class ChoiceParser<Choice extends string> implements SettingParser<Choice> {
    readonly allowedValues: string;
    private readonly choices: readonly Choice[];

    constructor(choices: readonly Choice[]) {
        this.choices = choices;
        this.allowedValues = `one of ${choices.join(", ")}`;
    }

    parse(text: string): Choice | undefined {
        return this.choices.find(choice => choice === text);
    }
}

function parseMember(text: string): ControlMember | undefined {
    const [instanceId, address, ...rest] = text.split("=");
    const isId = new NameParser().parse(instanceId ?? "") !== undefined;
    const isAddress = new EndpointParser().parse(address ?? "") !== undefined;
    return isId && isAddress && rest.length === 0 ? { instanceId: instanceId!, address: address! } : undefined;
}
