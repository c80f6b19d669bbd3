package org.lycheeroad.protocol.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import java.util.stream.Collectors;

/** Reports JSON text that is not a valid value of the requested type. */
public final class JsonException extends Exception {
    private static final long serialVersionUID = 1;

    private final String mFieldPath;

    JsonException(String fieldPath, String reason) {
        super(reason);
        mFieldPath = fieldPath;
    }

    static JsonException fromJackson(JsonProcessingException e) {
        String fieldPath = "";
        if (e instanceof JsonMappingException mapping) {
            fieldPath =
                    mapping.getPath().stream()
                            .map(JsonMappingException.Reference::getFieldName)
                            .map(String::valueOf)
                            .collect(Collectors.joining("."));
        }
        return new JsonException(fieldPath, e.getOriginalMessage());
    }

    /** Returns the dotted path of the invalid field, or an empty string for the whole text. */
    public String fieldPath() {
        return mFieldPath;
    }
}
