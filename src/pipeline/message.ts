/** The unit that travels through pipes. */

/** An immutable, typed message. Events, requests, answers and effects are all messages. */
export interface Message {
    /** `concern.name`, taken from the constant object of the concern that owns the message. */
    readonly kind: string;
}
