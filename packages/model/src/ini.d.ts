/** The part of the ini package that is used; the package ships no types. */
declare module "ini" {
    const ini: {
        /** Decodes one value: quotes, escapes, trailing comments. Quoted text may decode to any JSON value. */
        readonly unsafe: (text: string) => unknown;
    };
    export default ini;
}
