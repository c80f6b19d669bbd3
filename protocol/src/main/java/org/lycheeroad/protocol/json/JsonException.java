package org.lycheeroad.protocol.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import java.util.stream.Collectors;

/** Reports JSON text that is not a valid value, with the field at fault. */
public final class JsonException extends Exception {
    private static final long serialVersionUID = 1;

    private final String mFieldPath;

    JsonException(String field, String reason) {
        super(reason);
        mFieldPath = field;
    }

    static JsonException fromJackson(JsonProcessingException e) {
        String field = "";
        if (e instanceof JsonMappingException mapping) {
            field =
                    mapping.getPath().stream()
                            .map(JsonMappingException.Reference::getFieldName)
                            .map(String::valueOf)
                            .collect(Collectors.joining("."));
        }
        return new JsonException(field, e.getOriginalMessage());
    }

    /** Returns the path of the field at fault, or an empty string for the whole text. */
    public String fieldPath() {
        return mFieldPath;
    }
}
