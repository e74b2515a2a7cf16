/** The base type of everything that passes through pipes. */

/** An immutable, typed message. Events, requests, answers and effects are all messages. */
export interface Message {
    /** `concern.name`, defined in the constant object of the concern that owns the message type. */
    readonly kind: string;
}
