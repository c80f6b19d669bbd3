package org.lycheeroad.protocol.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.util.function.Function;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.shape.Shape;

/** Converts records to and from JSON; IDs and shapes are written as strings. */
public final class Json {
    private static final ObjectMapper MAPPER = newMapper();

    private Json() {}

    /** Serializes a value to JSON text. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize value to JSON", e);
        }
    }

    /**
     * Parses JSON text; unknown fields are ignored so that newer peers can add fields.
     *
     * @throws JsonException if the text is not a valid value of the type
     */
    public static <T> T read(String text, Class<T> type) throws JsonException {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new JsonException("", "must not be null");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw JsonException.fromJackson(e);
        }
    }

    private static ObjectMapper newMapper() {
        SimpleModule module = new SimpleModule();
        registerTextType(module, EntryId.class, EntryId::new);
        registerTextType(module, FailureDomainId.class, FailureDomainId::new);
        registerTextType(module, JobId.class, JobId::new);
        registerTextType(module, KindId.class, KindId::new);
        registerTextType(module, RackId.class, RackId::new);
        registerTextType(module, RegionId.class, RegionId::new);
        registerTextType(module, RequestId.class, RequestId::new);
        registerTextType(module, TargetId.class, TargetId::new);
        registerTextType(module, TeamId.class, TeamId::new);
        registerTextType(module, WorkerId.class, WorkerId::new);
        registerTextType(module, Shape.class, Shape::parse);
        return new ObjectMapper()
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .registerModule(module);
    }

    private static <T> void registerTextType(
            SimpleModule module, Class<T> type, Function<String, T> parser) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new TextDeserializer<>(type, parser));
    }

    private static final class TextDeserializer<T> extends FromStringDeserializer<T> {
        private static final long serialVersionUID = 1;

        private final transient Function<String, T> mParser;

        TextDeserializer(Class<T> type, Function<String, T> parser) {
            super(type);
            mParser = parser;
        }

        @Override
        protected T _deserialize(String text, DeserializationContext context)
                throws JsonProcessingException {
            try {
                return mParser.apply(text);
            } catch (IllegalArgumentException e) {
                JsonParser jsonParser = context.getParser();
                throw new com.fasterxml.jackson.databind.exc.InvalidFormatException(
                        jsonParser, e.getMessage(), text, _valueClass);
            }
        }
    }
}
